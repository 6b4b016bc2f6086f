# A planned stop while untrusted callers are connected. Guards against a stop that they can delay beyond the grace time or break
# off, and against memory that grows in it.
source "$(dirname "$0")/../common/crowd_case.sh"
CROWD_STOP=1 play_crowds route idle bodies_whole answers_not_read many_fields_pipelined
