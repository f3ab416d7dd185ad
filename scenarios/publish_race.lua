-- Two operators publish on the same base version while the log is down, slow or
-- loses answers. Guards against two successful publishes, a version that goes
-- back and an instance that does not apply the new version.

start({ 1, 2, 3 }, { 1 })
local seen = {}
local function check_versions()
  for _, it in ipairs(site.entries) do
    local found = version(it)
    if found then
      expect(found >= (seen[it.name] or -1), "the version at " .. it.name .. " never goes back")
      seen[it.name] = found
    end
  end
end
local function start_publish(entry, base, publisher, importance)
  return native.http_start("POST", entry.address, 18470, "/v1/config",
    publish_body(base, publisher, importance), 20000, operator())
end
local faults = { { slow_ms = 300 }, { lose_answers = 2 }, { down = true }, { lose_appends = 1 } }
for round, fault in ipairs(faults) do
  local base = version(site.entries[1])
  for _, it in ipairs(site.entries) do
    wait_until(CONFIG_SECONDS, it.name .. " has version " .. base, function()
      return version(it) == base
    end)
  end
  platform(fault)
  local calls = { start_publish(site.entries[1], base, "left", 50 + round),
    start_publish(site.entries[2], base, "right", 70 + round) }
  sleep(1)
  check_versions()
  platform({ down = false, slow_ms = 0 })
  local recovered_at = now()
  local answers = { await(calls[1]), await(calls[2]) }
  local winner, loser
  for _, it in ipairs(answers) do
    if it.status == 200 then
      expect(not winner, "at most one publish succeeds in round " .. round)
      winner = it
    else
      loser = it
    end
  end
  if fault.down then
    -- Both may fail before the log recovers; the version then stays the same.
    for _, it in ipairs(answers) do
      expect(it.status == 200 or it.body.error == "log_unavailable" or
        it.body.error == "version_conflict",
        "the answer during an outage is 200, log_unavailable or version_conflict: " .. it.text)
    end
  else
    expect(winner, "one publish succeeds in round " .. round .. ": " ..
      answers[1].text .. answers[2].text)
    expect(loser.body.error == "version_conflict" and
      loser.body.detail:find(tostring(winner.body.version), 1, true),
      "the other publish conflicts with version " .. winner.body.version .. ": " .. loser.text)
  end
  local target = winner and winner.body.version or base
  wait_until(CONFIG_SECONDS, "version " .. target .. " is applied by every instance", function()
    check_versions()
    for _, it in ipairs(site.entries) do
      if version(it) ~= target then return false end
    end
    return true
  end)
  report(string.format("round %d: applied by every instance %.1f s after the recovery", round,
    now() - recovered_at))
end
stop_all()
