# Functions that make the tables of tools/scale: they fit straight lines to the
# measurements and derive the figures of the stated fleet from them.

# The stated fleet is that of docs/design.md, section 1.4.  That page says that
# eight organisations per service, today's number, are an assumption.
FLEET_DAEMONS=820 MEMBERS=8 GROUPS_=667 ENDPOINTS=3 ORGANISATIONS_PER_GROUP=8
CHANGES=800 REPLACED=390 FAILED=3 PRIMARIES=2 DOMAINS=8
READS_LIMIT=2000 WRITES_LIMIT=400

# fit FILE XCOLUMN YCOLUMN: fits a straight line and prints its slope,
# intercept and root mean square residual.
fit() {
  awk -F'\t' -v xc="$2" -v yc="$3" '
    { x[NR] = $xc; y[NR] = $yc; sx += $xc; sy += $yc; sxx += $xc * $xc
      sxy += $xc * $yc }
    END {
      d = NR * sxx - sx * sx
      slope = d != 0 ? (NR * sxy - sx * sy) / d : 0
      base = (sy - slope * sx) / NR
      for (i = 1; i <= NR; i++) r += (y[i] - base - slope * x[i]) ^ 2
      printf "%.6g\t%.6g\t%.4g\n", slope, base, sqrt(r / NR)
    }' "$1"
}

# core_rows FOLDER KIND: prints the lines of that kind from FOLDER/core.txt,
# the output of azurewind-core-slopes, without the kind.
core_rows() {
  awk -F'\t' -v OFS='\t' -v kind="$2" '
    $1 == kind { $1 = ""; sub(/^\t/, ""); print }' "$1/core.txt"
}

size_of() {
  awk -F'\t' -v name="$2" '$1 == "size" && $2 == name { print $3 }' \
    "$1/core.txt"
}

# markdown FILE HEADING...: prints a file of tab-separated fields as a table.
markdown() {
  local file=$1 heading
  shift
  for heading in "$@"; do printf '| %s ' "$heading"; done
  printf '|\n'
  for heading in "$@"; do printf '|---'; done
  printf '|\n'
  awk -F'\t' '{ for (i = 1; i <= NF; i++) printf "| %s ", $i; print "|" }' \
    "$file"
}

per_daemon=("% of a core" "MB" "peer bytes/s" "peer messages/s"
  "platform calls/s")

# fit_row NAME FILE YCOLUMN: fits column YCOLUMN to column 1 and appends the
# line to the table of fits.
fit_row() {
  printf '%s\t%s\n' "$1" "$(fit "$2" 1 "$3")" >>"$fits"
}

fit_all() {
  local o=$1 name
  fits=$o/fits.tsv
  core_rows "$o" group >"$o/core_group.tsv"
  core_rows "$o" organisation >"$o/core_organisation.tsv"
  core_rows "$o" settings >"$o/core_settings.tsv"
  fit_row "cell: % of a core per member" "$o/cell.tsv" 2
  fit_row "cell: MB per member" "$o/cell.tsv" 3
  fit_row "cell: peer bytes/s per member" "$o/cell.tsv" 4
  fit_row "cell: platform calls/s per member" "$o/cell.tsv" 6
  fit_row "fleet: % of a core of a daemon, per daemon" "$o/fleet.tsv" 2
  fit_row "fleet: peer bytes/s of a daemon, per daemon" "$o/fleet.tsv" 4
  fit_row "fleet: platform calls/s, all daemons, per daemon" "$o/platform.tsv" 2
  fit_row "fleet: waiting watches per daemon" "$o/platform.tsv" 3
  fit_row "fleet: s until a change is in force, per daemon" "$o/platform.tsv" 4
  fit_row "services: % of a core per service" "$o/services.tsv" 2
  fit_row "services: MB per service" "$o/services.tsv" 3
  fit_row "services: peer bytes/s per service" "$o/services.tsv" 4
  fit_row "organisations: % of a core per organisation" \
    "$o/organisations.tsv" 2
  fit_row "organisations: MB per organisation" "$o/organisations.tsv" 3
  fit_row "organisations: peer bytes/s per organisation" \
    "$o/organisations.tsv" 4
  fit_row "core: us/s per group" "$o/core_group.tsv" 2
  fit_row "core: bytes per group" "$o/core_group.tsv" 3
  fit_row "codec: us/s per group, 14 heartbeats/s each way" \
    "$o/core_group.tsv" 4
  fit_row "heartbeat: bytes per group" "$o/core_group.tsv" 5
  fit_row "core: us/s per organisation" "$o/core_organisation.tsv" 2
  fit_row "core: bytes per organisation" "$o/core_organisation.tsv" 3
  fit_row "codec: us/s per organisation, 14 heartbeats/s each way" \
    "$o/core_organisation.tsv" 4
  fit_row "heartbeat: bytes per organisation" "$o/core_organisation.tsv" 5
  printf 'change: us per change, mean\t%s\t-\t-\n' "$(change_cost "$o")" \
    >>"$fits"
  fit_row "settings: us to read the tree, per service" \
    "$o/core_settings.tsv" 2
  fit_row "settings: bytes of memory per service" "$o/core_settings.tsv" 3
  fit_row "settings: bytes of text per service" "$o/core_settings.tsv" 4
}

# slope NAME, base NAME: print the slope and the intercept of a line in the
# table of fits.
slope() {
  awk -F'\t' -v n="$1" '$1 == n { print $2 }' "$fits"
}
base() {
  awk -F'\t' -v n="$1" '$1 == n { print $3 }' "$fits"
}

# change_cost FOLDER: prints the processor time of one change in microseconds:
# the difference between the windows with and without changes, divided by the
# changes per second.  The platform calls show that rate, as each change
# completes one watch.
change_cost() {
  paste "$1/cell.tsv" "$1/changes.tsv" | awk -F'\t' '
    { rate = $12 - $6; if (rate > 0) { c += ($8 - $2) * 10000 / rate; n++ } }
    END { printf "%.0f", n ? c / n : 0 }'
}

project() {
  local o=$1
  awk -v d=$FLEET_DAEMONS -v m=$MEMBERS -v g=$GROUPS_ -v e=$ENDPOINTS \
    -v og=$ORGANISATIONS_PER_GROUP -v changes=$CHANGES \
    -v replaced=$REPLACED -v failed=$FAILED -v primaries=$PRIMARIES \
    -v domains=$DOMAINS -v reads=$READS_LIMIT -v writes=$WRITES_LIMIT \
    -v hb="$(size_of "$o" "heartbeat, no group, no organisation")" \
    -v hbg="$(slope "heartbeat: bytes per group")" \
    -v hbo="$(slope "heartbeat: bytes per organisation")" \
    -v cpu_base="$(base "cell: % of a core per member")" \
    -v cpu_member="$(slope "cell: % of a core per member")" \
    -v cpu_service="$(slope "services: % of a core per service")" \
    -v cpu_org="$(slope "organisations: % of a core per organisation")" \
    -v codec_org="$(slope "codec: us/s per organisation, 14 heartbeats/s each way")" \
    -v codec_group="$(slope "codec: us/s per group, 14 heartbeats/s each way")" \
    -v core_org="$(slope "core: us/s per organisation")" \
    -v mb_base="$(base "cell: MB per member")" \
    -v mb_member="$(slope "cell: MB per member")" \
    -v mb_service="$(slope "services: MB per service")" \
    -v mb_org="$(slope "organisations: MB per organisation")" \
    -v calls="$(slope "fleet: platform calls/s, all daemons, per daemon")" \
    -v parse="$(slope "settings: us to read the tree, per service")" \
    -v tree_mem="$(slope "settings: bytes of memory per service")" \
    -v tree="$(slope "settings: bytes of text per service")" \
    -v change_us="$(change_cost "$o")" \
    -v cell_bytes="$(size_of "$o" "cell object, 8 members")" \
    -v group_bytes="$2" -v roles="$o/roles.md" -v vm_bytes="$3" \
    -v full_change="$(tail -n 1 "$o/size.tsv" | cut -f 2)" \
    -v change_fleet="$(tail -n 1 "$o/platform.tsv" | cut -f 1)" \
    -v change_slope="$(slope "fleet: s until a change is in force, per daemon")" \
    -v change_base="$(base "fleet: s until a change is in force, per daemon")" \
    -v release="$(size_of "$o" "release, released")" \
    -v budget_bytes="$(size_of "$o" "need, grant, grant_ack")" \
    -v core_group="$(slope "core: us/s per group")" \
    -v core_group_bytes="$(slope "core: bytes per group")" \
    -v budget="$o/budget.md" -v platform="$o/platform-calls.md" \
    -v storms="$o/storm-projection.md" -v limits="$o/limits.md" \
    -f tools/scale_project.awk "$o/storm.tsv"
}

scale_tables() {
  local o=$1 name
  fit_all "$o"
  project "$o" "$2" "$3"
  markdown "$o/cell.tsv" members "${per_daemon[@]}" >"$o/cell.md"
  markdown "$o/changes.tsv" members "${per_daemon[@]}" >"$o/changes.md"
  paste "$o/platform.tsv" "$o/fleet.tsv" | cut -f 1-4,6-8 >"$o/cells.tsv"
  markdown "$o/cells.tsv" daemons "platform calls/s, all" "waiting watches" \
    "s until a change is in force" "% of a core" MB "peer bytes/s" \
    >"$o/cells.md"
  for name in services organisations; do
    markdown "$o/$name.tsv" "$name" "${per_daemon[@]}" >"$o/$name.md"
  done
  markdown "$o/core_group.tsv" groups "core us/s" "core bytes" \
    "codec us/s" "heartbeat bytes" >"$o/core-groups.md"
  markdown "$o/core_organisation.tsv" organisations "core us/s" \
    "core bytes" "codec us/s" "heartbeat bytes" >"$o/core-organisations.md"
  markdown "$o/core_settings.tsv" services "us to read" "bytes of memory" \
    "bytes of text" >"$o/settings.md"
  awk -F'\t' -v OFS='\t' '$1 == "size" { print $2, $3 }' "$o/core.txt" \
    >"$o/sizes.tsv"
  printf 'group object\t%s\nVM in the list of VMs\t%s\n' "$2" "$3" \
    >>"$o/sizes.tsv"
  markdown "$o/sizes.tsv" "message or object" bytes >"$o/sizes.md"
  markdown "$fits" line slope intercept residual >"$o/fits.md"
  markdown "$o/size.tsv" "KB of configuration" \
    "s until a change is in force at $(tail -n 1 "$o/platform.tsv" | cut -f 1) daemons" \
    >"$o/change-size.md"
  markdown "$o/storm.tsv" event daemons "platform calls" "of these writes" \
    "calls in the busiest second" "waiting watches" >"$o/storms.md"
}

# scale_write FOLDER PAGE: replaces the text between the markers of each table
# in PAGE; a table without markers is an error.
scale_write() {
  local table name
  for table in "$1"/*.md; do
    name=$(basename "$table" .md)
    if ! grep -q "<!-- begin $name -->" "$2"; then
      echo "scale: $2 has no place for the table $name" >&2
      return 1
    fi
    awk -v begin="<!-- begin $name -->" -v end="<!-- end $name -->" \
      -v table="$table" '
      $0 == end { skip = 0 }
      !skip { print }
      $0 == begin { while ((getline line < table) > 0) print line; skip = 1 }
    ' "$2" >"$1/page"
    cat "$1/page" >"$2"
  done
}

scale_plot() {
  gnuplot <<END
set terminal svg size 900,640 font "sans,11"
set output "$2"
set datafile separator "\t"
set multiplot layout 2,2
set key off
set grid
set yrange [0:]
set xlabel "daemons in the fleet"
set ylabel "platform calls/s, idle"
plot "$1/platform.tsv" using 1:2 with linespoints
set ylabel "s until a change is in force"
plot "$1/platform.tsv" using 1:4 with linespoints
set ylabel "% of a core per daemon"
plot "$1/fleet.tsv" using 1:2 with linespoints
set ylabel "peer bytes/s per daemon"
plot "$1/fleet.tsv" using 1:4 with linespoints
unset multiplot
END
}
