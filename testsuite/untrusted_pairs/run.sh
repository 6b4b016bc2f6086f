# Two kinds of untrusted callers at once. Guards against bounds that hold for each kind and not for their sum.
source "$(dirname "$0")/../common/crowd_case.sh"
play_crowds route bodies_in_chunks+slow_readers many_fields+answers_not_read slow_senders+bodies_whole \
    pipelined+chunk_extensions half_heads+bodies_in_pieces
