# Derives the figures of the stated fleet from the fitted slopes.
# tools/scale_project.sh sets the variables; the input is the table of storms.

function row(file, a, b, c, d, e) {
  printf "| %s | %s | %s | %s | %s |\n", a, b, c, d, e > file
}

function role(a, b, c, d, e, f) {
  printf "| %s | %s | %s | %s | %s | %s |\n", a, b, c, d, e, f > roles
}

function num(x, digits) {
  return sprintf("%." (digits == "" ? 2 : digits) "f", x)
}

function verdict(x, limit) {
  return x <= limit ? "met" : "missed"
}

BEGIN { FS = "\t" }

# The platform writes per lost or restarted daemon come from storms in which
# each cell loses or restarts one daemon.
/lost/ { match($1, /of each of [0-9]+/); lost_writes = $4 / substr($1, RSTART + 11, RLENGTH - 11) }
/started again/ { match($1, /of each of [0-9]+/); start_writes = $4 / substr($1, RSTART + 11, RLENGTH - 11) }
/down for/ { back = $3 / $2; back_peak = $5 / $2 }

END {
  cells = int((d + m - 1) / m)
  groups = g / cells
  orgs = groups * og
  beats = 2 * 2 * (m - 1)
  hb_base = beats * hb
  hb_groups = beats * hbg * groups
  hb_orgs = beats * hbo * orgs
  tree_bytes = tree * g
  config_bytes = tree_bytes * changes / 86400
  list_bytes = vm_bytes * d / 10
  replaces = (replaced + failed) / 86400
  cell_writes = replaces * (lost_writes + start_writes)
  # Every object lies under one watched prefix, so each update of a cell
  # object reaches every daemon.
  cell_watch_bytes = cell_writes * cell_bytes
  parse_us = parse * g
  config_cpu = (change_us + parse_us) * changes / 86400 / 10000
  polls_us = cpu_service * 10000 - codec_group
  if (polls_us < 0) polls_us = 0
  org_us = (core_org + codec_org) * orgs
  cpu_fixed = cpu_base + cpu_member * m
  # The fixed part already contains the first service, because the cell that it
  # was fitted to has one service and one organisation.
  polls_cpu = polls_us * (groups - 1) / 10000
  hb_cpu = codec_group * (groups - 1) / 10000
  org_cpu = org_us / 10000
  mb_fixed = mb_base + mb_member * m
  mb_groups = mb_service * (groups - 1)
  mb_orgs = mb_org * orgs
  mb_tree = (tree_mem + tree) * g / 1048576

  printf "| mechanism | bytes/s, both directions | %% of a core | MB | derived from |\n|---|---|---|---|---|\n" > budget
  row(budget, "fixed part: loop, ticks, HTTP, one service", 0, num(cpu_fixed, 3), num(mb_fixed, 1), "cell, intercept and 8 members")
  row(budget, "heartbeats, fixed part of 28/s", num(hb_base, 0), "in the line above", 0, "encoded size")
  row(budget, "views of " num(groups, 1) " groups in heartbeats", num(hb_groups, 0), num(hb_cpu, 3), 0, "heartbeat and codec per group")
  row(budget, "reports of " num(orgs, 0) " organisations in heartbeats", num(hb_orgs, 0), num(org_cpu, 3), num(mb_orgs, 2), "heartbeat, codec, core, MB per organisation")
  row(budget, "polls, authority, failover of " num(groups, 1) " groups", "to endpoints", num(polls_cpu, 3), num(mb_groups, 1), "services")
  row(budget, "configuration, " changes " a day, whole tree of " num(tree_bytes / 1024, 0) " KB", num(config_bytes, 0), num(config_cpu, 3), num(mb_tree, 1), "change, settings")
  row(budget, "cell objects of other cells, by the watch", num(cell_watch_bytes, 0), "not measured", 0, "storms, encoded size")
  row(budget, "list of " d " VMs every 10 s", num(list_bytes, 0), "not measured", 0, "size of an entry")
  cpu = cpu_fixed + hb_cpu + org_cpu + polls_cpu + config_cpu
  mb = mb_fixed + mb_groups + mb_orgs + mb_tree
  bytes = hb_base + hb_groups + hb_orgs + config_bytes + cell_watch_bytes + list_bytes
  row(budget, "sum", num(bytes, 0), num(cpu, 2), num(mb, 1), "")
  row(budget, "budget", 6144, 2.9, 64, "design page")
  row(budget, "result", verdict(bytes, 6144), verdict(cpu, 2.9), verdict(mb, 64), "")

  printf "| role | state | messages | processor time | memory | mechanism |\n|---|---|---|---|---|---|\n" > roles
  role("daemon, control part", num(groups, 1) " groups, " num(orgs, 0) " organisations, 1 cell, the whole tree", num(hb_base + hb_groups + hb_orgs, 0) " bytes/s to and from 7 members, " num(config_bytes + cell_watch_bytes + list_bytes, 0) " bytes/s from the platform", num(cpu, 2) "% of a core", num(mb, 1) " MB", "table below")
  role("driver of a failover", "1 group record and 7 views of its primary", "4 updates of " group_bytes " bytes, 7 releases and 7 answers of " release " bytes", num(core_group, 1) " us/s per group while idle", num(core_group_bytes, 0) " bytes per group", "core/failover.c; any member of the cell")
  role("holder of a budget share", "1 fraction, 1 bucket, 7 reports per organisation", num(beats * hbo, 0) " bytes/s of reports; need, grant and grant_ack of " budget_bytes " bytes on demand", num(core_org + codec_org, 1) " us/s per organisation", num(mb_org * 1024, 1) " KB per organisation with its counters", "core/budget.c; every member of the cell")
  role("operators' tool", "none", "1 read and 1 update of " num(tree_bytes / 1024, 0) " KB for each change, " num(changes / 86400, 4) "/s", "reads the tree: " num(parse_us / 1000, 0) " ms", num(mb_tree, 1) " MB", "cli/config.c, cli/rate.c")
  role("object azurewind/config", num(tree_bytes / 1024, 0) " KB", num(changes / 86400, 4) " updates/s, each to " d " watches", "-", num(tree_bytes / 1024, 0) " KB, limit 1024", "not sharded")
  role("object azurewind/keys", "one hash per key", "as keys are issued; not in the stated fleet", "-", "not measured", "not sharded")
  role(cells " objects azurewind/cells/*", cell_bytes " bytes each", num(cell_writes, 4) " updates/s in all, each to " d " watches", "-", num(cells * cell_bytes / 1024, 0) " KB in all", "sharded by cell")
  role(g " objects azurewind/groups/*", group_bytes " bytes each", num(primaries * 4 / 86400, 5) " updates/s in all, each to " d " watches", "-", num(g * group_bytes / 1024, 0) " KB in all", "sharded by group")

  printf "| object or call | reads/s | writes/s | waiting watches | mechanism |\n|---|---|---|---|---|\n" > platform
  idle = calls * d
  change_reads = d * changes / 86400
  cell_reads = cell_writes * d
  start_reads = replaces * (2 + g)
  group_writes = primaries * 4 / 86400
  row(platform, "watch renewals and lists of VMs, idle", num(idle, 1), 0, d, "fleet slope; one watch of 30 s and one list of 10 s per daemon")
  row(platform, "configuration object", num(change_reads, 2), num(changes / 86400, 4), 0, "one new watch per daemon and change")
  row(platform, cells " cell objects", num(cell_reads, 2), num(cell_writes, 4), 0, "storms; every update wakes every watch")
  row(platform, g " group objects", num(group_writes * d, 2), num(group_writes, 5), 0, "agree, choose, open; " primaries " changes a day")
  row(platform, "starting daemons", num(start_reads, 2), "with cells", 0, "one read per group, cell object, first watch")
  all_reads = idle + change_reads + cell_reads + group_writes * d + start_reads
  all_writes = changes / 86400 + cell_writes + group_writes
  row(platform, "sum", num(all_reads, 1), num(all_writes, 3), d, "")
  row(platform, "limit", reads, writes, "a watch is one call", "design page")
  row(platform, "result", verdict(all_reads, reads), verdict(all_writes, writes), "", "")

  printf "| event | calls | seconds at %d reads/s and %d writes/s | MB from the platform | weak point |\n|---|---|---|---|---|\n", reads, writes > storms
  full = tree_bytes + cells * cell_bytes + g * group_bytes
  boot_reads = d * (2 + g)
  row(storms, "all daemons start, as built", num(boot_reads, 0), num(boot_reads / reads, 1), num(d * full / 1e6, 0), "each daemon reads each group object")
  mapped = d * (2 + groups)
  row(storms, "all daemons start, groups mapped to cells", num(mapped, 0), num(mapped / reads, 1), num(d * (tree_bytes / cells + cell_bytes + groups * group_bytes) / 1e6, 1), "not implemented")
  row(storms, "all cells formed again (writes)", num(cells * m * start_writes, 0), num(cells * m * start_writes / writes, 1), "", "members that join together share an update")
  row(storms, "platform returns after an outage of 4 s, measured calls per daemon", num(back * d, 0), num(back_peak * d / reads, 1) " for the busiest second", 0, "retries after 0.2 to 5 s, without jitter")
  lost = cells * lost_writes * (d - d / domains)
  row(storms, "failure domain lost: " num(d / domains, 0) " daemons", num(lost, 0), num(lost / reads, 1), num(lost * cell_bytes / 1e6, 0), "upper bound; a watch returns several updates at once")
  narrow = cells * lost_writes * m
  row(storms, "the same, with a watch per cell", num(narrow, 0), num(narrow / reads, 2), num(narrow * cell_bytes / 1e6, 1), "not implemented")
  row(storms, "one configuration change", d, num(d / reads, 2), num(d * tree_bytes / 1e6, 0), "the whole tree to every daemon")
  row(storms, "time until it is in force, small tree, line of 3.3", "", num(change_base + change_slope * d, 2), "", "the stand-in answers all watches one after the other")
  row(storms, "the same, tree of the stated size, in proportion to daemons", "", num(full_change * d / change_fleet, 2), "", "target 3 s: " verdict(full_change * d / change_fleet, 3) " with this stand-in")
  row(storms, replaced " VMs replaced, per day", num((lost_writes + start_writes) * d * replaced + replaced * (2 + g), 0), "spread over the day", num(replaced * (full + (lost_writes + start_writes) * d * cell_bytes) / 1e6, 0), "watch of all cells")

  printf "| mechanism | gives way at | because | stated size | replacement |\n|---|---|---|---|---|\n" > limits
  spare = 6144 - hb_base
  row(limits, "heartbeats that carry every report", num((spare / beats - hbg) / hbo, 1) " organisations in a cell with one group", "6 KB/s", num(orgs, 0) " in " num(groups, 1) " groups", "reports and views only when they change")
  row(limits, "heartbeats that carry every view", num(spare / beats / hbg, 1) " groups in a cell without organisations", "6 KB/s", num(groups, 1), "reports and views only when they change")
  row(limits, "64 reports in a heartbeat", "64 organisations per cell", "MESSAGE_MAX_REPORTS", num(orgs, 0) " on average", "reports in turn, changed ones first")
  row(limits, "64 views in a heartbeat", "64 groups per cell", "MESSAGE_MAX_VIEWS", num(groups, 1) " mapped, " g " as built", "mapping of groups to cells")
  polls_limit = (2.9 - cpu_fixed) / (cpu_service > 0 ? cpu_service : 1e-9) + 1
  row(limits, "every daemon polls every group", num(polls_limit, 0) " groups", "2.9% of a core", g, "mapping of groups to cells, forwarding")
  row(limits, "one watch of everything per daemon", num(sqrt(reads * 3 * domains * m / lost_writes / (domains - 1)), 0) " daemons", "a lost failure domain uses the reads of 3 s", d, "watches of the own cell, the own groups and the configuration")
  row(limits, "one configuration object", num(1048576 / tree, 0) " services with " og " organisations", "1 MB per value", g, "one object per service, an index with versions")
  row(limits, "configuration from a peer", num(32768 / tree, 0) " services with " og " organisations", "a snapshot carries up to 32 KB", g, "one object per service")
  row(limits, "platform answers every watch with the whole tree", num(3 / full_change * change_fleet, 0) " daemons", "3 s until a change is in force, with this stand-in", d, "one object per service")
  row(limits, "configuration sent whole", num(6144 * 86400 / changes / tree, 0) " services", "6 KB/s at " changes " changes a day, alone", g, "one object per service")
  row(limits, "list of VMs sent whole", num(6144 * 10 / vm_bytes, 0) " VMs", "6 KB/s, alone", d, "changes of the list only, or one reader per cell")
  row(limits, "idle watches and lists", num(reads / calls, 0) " daemons", reads " reads/s", d, "list of VMs read by one member of each cell")
  row(limits, "reads at start", num(reads * 60 / (2 + g), 0) " daemons", "all start within 60 s", d, "objects of the own groups, from the first watch")
}
