/** @file main.cpp Runs one case of the second review: NAME RECORD-FILE, from the root of the repository. */
#include "world.h"

#include <iostream>

int main(int argc, char** argv)
{
    const std::string name = argc == 3 ? argv[1] : "";
    if (name.empty()) {
        std::cerr << "usage: NAME RECORD-FILE\n";
        return 2;
    }
    review::openRecord(argv[2]);
    if (name == "limits-before-config")
        return review::runLimitsBeforeConfig();
    if (name == "early-answer")
        return review::runEarlyAnswer();
    std::cerr << "no such case: " << name << "\n";
    return 2;
}
