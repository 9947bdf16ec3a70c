#!/bin/sh
exec "$(dirname "$0")/../stand-ins/run.sh" 3 long_answer
