#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
. "$(dirname "$0")/../common-2/run.sh" "$(dirname "$0")"
