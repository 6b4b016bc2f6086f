// Plays one case: review-3-rig CASE TROUBLE RECORD PROGRAM. Exits with 1 if the rule was broken, 0 if it
// held, 2 if the case could not run.
#include "cases.h"

#include <csignal>
#include <cstdio>
#include <cstring>

int main(int argc, char** argv) {
    using namespace balsampost::review::rig_3;
    constexpr int exit_not_run = 2;
    if (argc != 5) {
        std::fprintf(stderr, "usage: review-3-rig CASE TROUBLE RECORD PROGRAM\n");
        return exit_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record out(argv[3]);
    const bool trouble = std::strcmp(argv[2], "0") != 0;
    for (const auto& c : all_cases) {
        if (std::strcmp(c.name, argv[1]) == 0) {
            if (const auto result = c.play(out, trouble, argv[4])) {
                return *result;
            }
            out.line("the case could not run");
            std::printf("the case could not run\n");
            return exit_not_run;
        }
    }
    std::fprintf(stderr, "no such case: %s\n", argv[1]);
    return exit_not_run;
}
