-- A holder is paused (SIGSTOP) until its leases on workers have expired. Guards
-- against a second start of a task, and against commands that the former holder
-- sends after the pause.

start({ 1, 1 }, { 1, 1 })
for n = 1, 8 do
  local answer = submit(site.entries[n % 2 + 1], { key = "pause-" .. n, run_ms = 5000 })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
wait_until(SETTLE_SECONDS, "tasks run", function() return next(executions()) end)
local holder = find_entry(wait_held()["worker-1"])
local other = site.entries[holder.number == 1 and 2 or 1]
freeze(holder)
wait_until(SETTLE_SECONDS, "the other instance holds worker-1", function()
  return holders()["worker-1"] == other.name
end)
for n = 9, 12 do
  local answer = submit(other, { key = "pause-" .. n, run_ms = 3000 })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
thaw(holder)
-- The former holder must serve requests again.
wait_serving(holder)
for n = 1, 12 do
  wait_task(other, "orders.pause-" .. n, 60)
  wait_task(holder, "orders.pause-" .. n, 10)
end
local by_task = expect_no_double_run()
for n = 1, 12 do
  expect(#by_task["orders.pause-" .. n] == 1, "pause-" .. n .. " ran exactly once")
end
stop_all()
