# Malformed and hostile requests to the callers' port. Each row: what, the bytes (printf escapes), and what must come back:
# a status, or "closed" for a close without an answer. Afterwards the instance still serves.
source "$(dirname "$0")/../common/fault_case.sh"
EXTRA_SETTINGS=$'[limits]\nheader_time_ms = 700\nidle_time_ms = 700\nstall_time_ms = 700\ncallers = 50\n'
DAEMONS=2 KEYED_SERVERS=1 OTHER_SERVERS=1
start_deployment || exit 1
ENTRY=$(daemon_address 0)
LONG=$(head -c 20000 /dev/zero | tr '\0' 'a')

answer_to() { # BYTES
    local line
    exec 4<> "/dev/tcp/$ENTRY/7401"
    # shellcheck disable=SC2059
    printf "$1" >&4 2> /dev/null
    IFS= read -r -t 5 line <&4
    exec 4>&-
    line=${line#HTTP/1.1 }
    echo "${line:0:3}"
}

while IFS='|' read -r what bytes expected; do
    [ -n "$what" ] || continue
    got=$(answer_to "${bytes//LONG/$LONG}")
    [ "${got:-closed}" = "$expected" ] && echo "$what: $expected" || echo "$what: got ${got:-closed}, wanted $expected"
done <<'ROWS'
sound request|GET /vacancies/k HTTP/1.1\r\nHost: h\r\n\r\n|200
HTTP/1.0 without Host|GET /vacancies/k HTTP/1.0\r\n\r\n|200
no route|GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n|404
wrong method|DELETE /vacancies/k HTTP/1.1\r\nHost: h\r\n\r\n|404
empty key|GET /vacancies/ HTTP/1.1\r\nHost: h\r\n\r\n|404
no Host|GET /vacancies/k HTTP/1.1\r\n\r\n|400
two Hosts|GET /vacancies/k HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n|400
garbage|\x01\x02\x03\x04\r\n\r\n|400
TLS hello|\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n|400
no version|GET /vacancies/k\r\n\r\n|400
unknown version|GET /vacancies/k HTTP/3.7\r\nHost: h\r\n\r\n|400
lower-case protocol|GET /vacancies/k http/1.1\r\nHost: h\r\n\r\n|400
space in target|GET /vacancies/a b HTTP/1.1\r\nHost: h\r\n\r\n|400
absolute target|GET http://h/vacancies/k HTTP/1.1\r\nHost: h\r\n\r\n|400
asterisk target|OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n|400
oversized target|GET /LONG HTTP/1.1\r\nHost: h\r\n\r\n|431
oversized header|GET /vacancies/k HTTP/1.1\r\nHost: h\r\nX: LONG\r\n\r\n|431
header without colon|GET /vacancies/k HTTP/1.1\r\nHost: h\r\nBroken\r\n\r\n|400
space before colon|GET /vacancies/k HTTP/1.1\r\nHost : h\r\n\r\n|400
control byte in header|GET /vacancies/k HTTP/1.1\r\nHost: h\r\nX: a\x01b\r\n\r\n|400
empty header name|GET /vacancies/k HTTP/1.1\r\nHost: h\r\n: x\r\n\r\n|400
length not a number|POST /placements HTTP/1.1\r\nHost: h\r\nContent-Length: ten\r\n\r\n|400
negative length|POST /placements HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n|400
length too large|POST /placements HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999\r\n\r\n|400
two different lengths|POST /placements HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde|400
both length kinds|POST /placements HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n|400
both kinds, other order|POST /placements HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n|400
unknown encoding|POST /placements HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n|400
doubled encoding|POST /placements HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n|400
hidden encoding|POST /placements HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n|400
bad chunk size|POST /placements HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n|400
chunk longer than said|POST /placements HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcdef\r\n0\r\n\r\n|400
sound chunks|POST /placements HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n|200
bad deadline|GET /vacancies/k HTTP/1.1\r\nHost: h\r\nBalsampost-Deadline-Ms: soon\r\n\r\n|400
negative deadline|GET /vacancies/k HTTP/1.1\r\nHost: h\r\nBalsampost-Deadline-Ms: -1\r\n\r\n|400
header never ends|GET /vacancies/k HTTP/1.1\r\nHost: h\r\n|closed
body never comes|POST /placements HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab|closed
nothing at all||closed
still serving|GET /vacancies/k HTTP/1.1\r\nHost: h\r\n\r\n|200
ROWS
