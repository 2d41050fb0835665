/** @file main.cpp Plays one scripted case: review-case NAME RECORD-FILE. */
#include "cases.h"

#include <iostream>

using namespace lhub;
using namespace lhub::review;

int main(int argc, char** argv)
{
    static const std::map<std::string, asio::awaitable<int> (*)(world&)> Cases {
        { "late-requests", playLateRequests },
        { "foreign-entry", playForeignEntry },
        { "smuggled", playSmuggled },
        { "behind-broken-answer", playBehindBrokenAnswer },
        { "probe-pipelined-leave", probePipelinedLeave },
        { "probe-chunked-body", probeChunkedBody },
    };
    static constexpr std::chrono::seconds Limit { 115 };
    if (argc != 3 || Cases.count(argv[1]) == 0) {
        std::cerr << "usage: review-case NAME RECORD-FILE\n";
        return CannotRun;
    }
    world world;
    const int result = runCase(world, argv[2], Limit, Cases.at(argv[1]));
    std::cout << argv[1] << ": " << (result == RuleBroken ? "rule broken" : (result == RuleHeld ? "rule held" : "cannot run")) << "\n";
    std::cout.flush();
    std::_Exit(result);
}
