#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# With FIRST_EVENT=0 the engines crash before their first event.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 deadly-part review/7/record.txt
