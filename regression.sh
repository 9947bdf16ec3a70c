#!/usr/bin/env bash
# Plays the operating days, the standing and the brink days of all customers' sites, then each earlier set, with the
# operators' kit beside the repository. Ends with 1 if a gate failed, a rule was broken or a proxy crashed. The figures are
# for whoever reads them.
set -uo pipefail
cd "$(dirname "$0")"
kit=../given/kit
site=$kit/sites/headend-sk.toml
failed=0
play() {
    local out
    if ! out=$("$@" --why "Regression: all sets of days in turn" 2>&1); then failed=1; fi
    printf '%s\n' "$out"
    if grep -Eq 'BROKEN|GATE failed|crashed|rules: .*broken' <<<"$out"; then failed=1; fi
}
play $kit/more/ops/bin/lbreal score $site --quick
play $kit/more/ops/bin/lbreal score $site --panel later --quick
others=("$kit/more/mass/other/topup-ireland.toml" deploy/sites/short-deadlines.toml deploy/sites/no-zones.toml)
for each in "$site" "${others[@]}"; do
    play $kit/more/mass/bin/lbreal score "$each" --quick
    for seed in 1 2 3; do play $kit/more/mass/bin/lbreal score "$each" --panel brink --seed "$seed"; done
done
play $kit/more/bin/lbreal score $site --quick
play $kit/bin/lbsim score $site
if [ "$failed" = 0 ]; then echo "regression passed"; else echo "regression failed"; fi
exit "$failed"
