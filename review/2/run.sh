#!/bin/sh
exec "$(dirname "$0")/../stand-ins/run.sh" 2 hung_upload
