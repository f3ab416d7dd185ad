-- A failure domain loses its connection to the platform. Guards against failing
-- idempotent requests in that domain, work that runs although it was refused,
-- and tasks that stop or run twice.

start({ 1, 1, 2 }, { 1, 2 })
local inside, outside = site.entries[1], site.entries[3]
for n = 1, 4 do
  local answer = submit(inside, { key = "cut-" .. n, run_ms = 6000 })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
wait_until(SETTLE_SECONDS, "all tasks run", function()
  local count = 0
  for _ in pairs(executions()) do count = count + 1 end
  return count == 4
end)
cut("entry-1/platform")
cut("entry-2/platform")
local cut_end = now() + 14
-- A submission takes at most ten seconds, so it is refused before the cut ends.
local submissions = { start_submit(inside, { key = "refused-1", run_ms = 200 }),
  start_request(inside, { key = "refused-2", first_send = true, deadline_ms = 6000 }) }
local served = 0
while now() < cut_end do
  for n = 1, 2 do
    local answer = request(site.entries[n], { deadline_ms = 3000 })
    expect(answer.body.outcome == "completed",
      "idempotent request at " .. site.entries[n].name .. " completes: " .. answer.text)
    served = served + 1
  end
  sleep(0.1)
end
local refused = { await(submissions[1]), await(submissions[2]) }
for n, it in ipairs(refused) do
  expect(it.status and it.status >= 400, "new submission " .. n .. " is refused: " ..
    tostring(it.error) .. " " .. it.text)
end
expect(served > 50, "more than 50 requests are served during the cut, not " .. served)
report(served .. " requests served during the cut")
for _, list in pairs(executions()) do
  for _, it in ipairs(list) do
    expect(it.ended_at >= 0, it.task .. " has finished during the cut")
  end
end
heal("entry-1/platform")
heal("entry-2/platform")
for _, entry in ipairs(site.entries) do
  for n = 1, 4 do wait_task(entry, "orders.cut-" .. n, SETTLE_SECONDS) end
end
local answer = submit(inside, { key = "after-1", run_ms = 200 })
expect(answer.status == 201, "new tasks are accepted after the cut: " .. answer.text)
wait_task(outside, "orders.after-1", SETTLE_SECONDS)
-- An append that the log receives late must not start work that was reported
-- as not run.
sleep(3)
local by_task = expect_no_double_run()
if refused[1].body.may_have_run == false then
  expect(not by_task["orders.refused-1"], "the refused task did not run")
end
if refused[2].body.may_have_run == false then
  expect(runs_of("refused-2") == 0, "the refused request did not run")
end
report("refusals: " .. refused[1].body.error .. ", " .. refused[2].body.error)
for n = 1, 4 do
  expect(#by_task["orders.cut-" .. n] == 1, "cut-" .. n .. " ran exactly once")
end
stop_all()
