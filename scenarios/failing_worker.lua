-- One worker fails every task, one task fails on every worker and one is larger
-- than any worker. Guards against placing most tasks on the failing worker,
-- which is free again at once, against unlimited attempts, and against a task
-- that waits forever.

-- A worker has 16000, of which the two services reserve 4000.
local ALL_MILLI_PROCESSORS, HALF_MILLI_PROCESSORS = 12000, 6000

start({ 1, 1 }, { 1, 1, 1, 1 })
-- Placement prefers the worker with the least room, so a lasting task makes one
-- worker the preferred one.
local function submit_lasting(key, milli_processors)
  local answer = submit(site.entries[1], { key = key, run_ms = 120000,
    milli_processors = milli_processors })
  expect(answer.status == 201, key .. " is accepted: " .. answer.text)
end
submit_lasting("half", HALF_MILLI_PROCESSORS)
local failing
wait_until(SETTLE_SECONDS, "the first task runs", function()
  for _, it in ipairs(site.workers) do
    if #admin(it).executions > 0 then failing = it end
  end
  return failing
end)
-- While all other workers are full, the first task that can fail has to start on
-- the failing worker.
for n = 2, #site.workers do submit_lasting("full-" .. n, ALL_MILLI_PROCESSORS) end
wait_until(SETTLE_SECONDS, "every worker runs a lasting task", function()
  for _, it in ipairs(site.workers) do
    if #admin(it).executions == 0 then return false end
  end
  return true
end)
admin(failing, { fail_all = true })
-- Without the lasting task.
local function failed_starts() return #admin(failing).executions - 1 end
local function submit_failing(n)
  local answer = submit(site.entries[n % 2 + 1], { key = "fail-" .. n, run_ms = 300 })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
submit_failing(1)
wait_until(SETTLE_SECONDS, "the worker fails at least one task", function()
  return failed_starts() > 0
end)
for n = 2, #site.workers do
  local answer = cancel(site.entries[1], "orders.full-" .. n)
  expect(answer.status == 200, "full-" .. n .. " is cancelled: " .. answer.text)
end
for n = 2, 24 do
  submit_failing(n)
  sleep(0.1)
end
for n = 1, 24 do wait_task(site.entries[1], "orders.fail-" .. n, 90) end
local failed = failed_starts()
report(failed .. " of 24 tasks started on the failing worker")
expect(failed <= 12, "at most 12 tasks start on the failing worker, not " .. failed)
admin(failing, { fail_all = false })

local poison_task = submit(site.entries[1], { key = "poison", run_ms = 100, fail = "broken input" })
expect(poison_task.status == 201, "the task that always fails is accepted: " .. poison_task.text)
local found = wait_task(site.entries[2], "orders.poison", 60, "quarantined")
report("quarantined after " .. found.attempt .. " attempts: " .. found.detail)
expect(#found.detail > 0, "the quarantine has a reason")

local started = now()
local answer = submit(site.entries[1], { key = "huge", milli_processors = 17000 })
expect(answer.status == 422 and answer.body.error == "infeasible",
  "the task that fits on no worker is refused: " .. answer.text)
expect(now() - started < 2, "the refusal takes less than 2 s")
expect_no_double_run()
stop_all()
