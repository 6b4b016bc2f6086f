# Each kind of untrusted callers by itself at the callers' listener, on paths with a route. Guards against a process that outgrows
# its memory or its descriptors, or no longer serves, by what callers send or leave unread.
source "$(dirname "$0")/../common/crowd_case.sh"
play_crowds route idle bodies_whole bodies_in_pieces bodies_in_chunks bodies_over_the_limit endless_chunks half_heads half_bodies many_fields \
    many_fields_pipelined pipelined pipelined_large_heads answers_not_read slow_readers slow_senders chunk_extensions trailers endless_chunk_header
