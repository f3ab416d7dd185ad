-- The connections to a worker stay open but deliver no data. Guards against
-- requests that wait for this worker, and against a second run of its tasks.

start({ 1, 1 }, { 1, 1, 1 })
for n = 1, 6 do
  local answer = submit(site.entries[n % 2 + 1], { key = "silent-" .. n, run_ms = 4000 })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
wait_until(SETTLE_SECONDS, "all tasks run", function()
  local count = 0
  for _ in pairs(executions()) do count = count + 1 end
  return count == 6
end)
silence("worker-1")
local completed, slowest = 0, 0
local silence_end = now() + 8
while now() < silence_end do
  local started = now()
  local answer = request(site.entries[completed % 2 + 1], { deadline_ms = 6000 })
  expect(answer.body.outcome == "completed", "requests complete elsewhere: " .. answer.text)
  completed = completed + 1
  slowest = math.max(slowest, now() - started)
  sleep(0.05)
end
report(string.format("%d requests, slowest %.2f s", completed, slowest))
expect_no_double_run()
heal("worker-1")
for n = 1, 6 do wait_task(site.entries[1], "orders.silent-" .. n, 60) end
local by_task = expect_no_double_run()
for n = 1, 6 do
  expect(#by_task["orders.silent-" .. n] == 1, "silent-" .. n .. " ran exactly once")
end
stop_all()
