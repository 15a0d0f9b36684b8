#!/bin/sh
# Builds what the scripts of review/11 and up start besides the program of the deploy file: nothing. Their stand-ins are plain
# JavaScript in review/lib-3/ and need no package.
exit 0
