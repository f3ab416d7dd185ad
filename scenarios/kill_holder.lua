-- The entry instance that holds workers with running tasks is killed. Guards
-- against lost tasks, tasks that run twice, and wrong answers while another
-- instance takes over the workers.

start({ 1, 1, 1 }, { 1, 1, 1 })
local task_count = 12
for n = 1, task_count do
  local answer = submit(site.entries[n % 3 + 1],
    { key = "kill-" .. n, run_ms = 3000 + native.random(4000) })
  expect(answer.status == 201, "task " .. n .. " is accepted: " .. answer.text)
end
-- Kills the holder of a worker that runs tasks.
local busy = wait_until(SETTLE_SECONDS, "tasks run", function()
  for _, it in ipairs(site.workers) do
    if #admin(it).executions > 0 then return it end
  end
end)
local victim = find_entry(wait_held()[busy.name])
local calls, survivors = {}, {}
for _, it in ipairs(site.entries) do
  if it ~= victim then survivors[#survivors + 1] = it end
end
for n = 1, 20 do
  calls[n] = start_request(survivors[n % 2 + 1], { work_ms = 200, deadline_ms = 8000 })
end
kill(victim)
victim.stopped = true
local killed_at = now()
for n = 1, #calls do expect_outcome(await(calls[n]), "request " .. n) end
wait_until(SETTLE_SECONDS, "the survivors hold every worker", function()
  local found, count = holders()
  for _, it in pairs(found) do
    if it == victim.name then return false end
  end
  return count == #site.workers
end)
report(string.format("takeover %.1f s after the kill", now() - killed_at))
for n = 1, task_count do
  for _, it in ipairs(survivors) do wait_task(it, "orders.kill-" .. n, 60) end
end
local by_task = expect_no_double_run()
for n = 1, task_count do
  local list = by_task["orders.kill-" .. n]
  expect(list and #list == 1, "kill-" .. n .. " ran exactly once")
end
for _, it in ipairs(survivors) do wait_serving(it) end
stop_all()
