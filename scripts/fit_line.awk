# Least-squares fit of value against n for each name: awk -f fit_line.awk [-v at=N] FILE. The file
# holds one JSON object per line with "name", "value", "unit" and "n". Prints for each name with at
# least three distinct n: the slope per unit of n, the intercept, the largest residual, that residual
# in percent of the largest value, and the fitted value at n = N.
function field(line, key,   rest) {
  if (!match(line, "\"" key "\":")) return ""
  rest = substr(line, RSTART + RLENGTH)
  if (substr(rest, 1, 1) == "\"") {
    rest = substr(rest, 2)
    return substr(rest, 1, index(rest, "\"") - 1)
  }
  match(rest, /^[-+0-9.eE]+/)
  return substr(rest, 1, RLENGTH)
}
{
  name = field($0, "name")
  if (name == "") next
  if (!(name in count)) order[++names] = name
  i = ++count[name]
  x[name, i] = field($0, "n") + 0
  y[name, i] = field($0, "value") + 0
  unit[name] = field($0, "unit")
}
END {
  printf "%-52s %-18s %12s %14s %12s %7s", "name", "unit", "slope", "intercept", "residual", "%"
  print at == "" ? "" : sprintf(" %14s", "at " at)
  for (k = 1; k <= names; ++k) {
    name = order[k]
    n = count[name]
    split("", seen)
    sizes = 0
    sx = sy = sxx = sxy = 0
    for (i = 1; i <= n; ++i) {
      if (!(x[name, i] in seen)) { seen[x[name, i]] = 1; ++sizes }
      sx += x[name, i]; sy += y[name, i]
      sxx += x[name, i] * x[name, i]; sxy += x[name, i] * y[name, i]
    }
    if (sizes < 3) continue
    slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
    intercept = (sy - slope * sx) / n
    worst = largest = 0
    for (i = 1; i <= n; ++i) {
      distance = y[name, i] - intercept - slope * x[name, i]
      if (distance < 0) distance = -distance
      if (distance > worst) worst = distance
      if (y[name, i] > largest) largest = y[name, i]
    }
    share = largest > 0 ? 100 * worst / largest : 0
    printf "%-52s %-18s %12.5g %14.6g %12.4g %7.1f", name, unit[name], slope, intercept, worst, share
    print at == "" ? "" : sprintf(" %14.6g", intercept + slope * at)
  }
}
