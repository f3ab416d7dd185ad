-- Tasks are cancelled while they complete. Guards against a final state in the
-- answer to a caller that differs from what happened to the task.

start({ 1, 1 }, { 1, 1 })
local count = 16
local run_ms = {}
for n = 1, count do
  run_ms[n] = 200 + native.random(2800)
  local answer = submit(site.entries[n % 2 + 1], { key = "race-" .. n,
    run_ms = run_ms[n] })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
wait_until(SETTLE_SECONDS, "tasks run", function() return next(executions()) end)
sleep(0.6)
local calls = {}
for n = 1, count do
  calls[n] = start_cancel(site.entries[n % 2 + 1], "orders.race-" .. n)
  sleep(native.random(80) / 1000)
end
local reported = {}
for n = 1, count do
  local answer = await(calls[n])
  expect(answer.status == 200, "cancel " .. n .. " is answered: " .. tostring(answer.error) ..
    " " .. answer.text)
  reported[n] = answer.body.state
end
sleep(2)
local counts = {}
local by_task = expect_no_double_run()
for n = 1, count do
  local task = "orders.race-" .. n
  expect(reported[n] == "completed" or reported[n] == "cancelled",
    task .. " has ended: " .. reported[n])
  for _, it in ipairs(site.entries) do wait_task(it, task, 10, reported[n]) end
  counts[reported[n]] = (counts[reported[n]] or 0) + 1
  local list = by_task[task] or {}
  expect(#list <= 1, task .. " ran at most once")
  if reported[n] == "completed" then
    -- The times are in microseconds; 1 % tolerance.
    expect(#list == 1 and (list[1].ended_at - list[1].started_at) >= run_ms[n] * 990,
      task .. " ran to completion")
  else
    expect(#list == 0 or (list[1].ended_at >= 0), task .. " has stopped")
  end
end
report((counts.completed or 0) .. " completed, " .. (counts.cancelled or 0) .. " cancelled")
stop_all()
