-- One worker fails every task, one task fails on every worker and one is larger
-- than any worker. Guards against placing most tasks on the failing worker,
-- which is free again at once, against unlimited attempts, and against a task
-- that waits forever.

start({ 1, 1 }, { 1, 1, 1, 1 })
-- The faults go to the worker that placement prefers, which runs the probe.
local probe = submit(site.entries[1], { key = "probe", run_ms = 100 })
expect(probe.status == 201, "the probe is accepted: " .. probe.text)
wait_task(site.entries[1], "orders.probe", 60)
local failing
for _, it in ipairs(site.workers) do
  if #admin(it).executions > 0 then failing = it end
end
admin(failing, { fail_all = true })
for n = 1, 24 do
  local answer = submit(site.entries[n % 2 + 1], { key = "fail-" .. n, run_ms = 300 })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
  sleep(0.1)
end
for n = 1, 24 do wait_task(site.entries[1], "orders.fail-" .. n, 90) end
local _, failed_starts = load_of(failing)
failed_starts = failed_starts - 1 -- without the probe
expect(failed_starts > 0, "the worker fails at least one task")
report(failed_starts .. " of 24 tasks started on the failing worker")
expect(failed_starts <= 12, "at most 12 tasks start on the failing worker, not " .. failed_starts)
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
