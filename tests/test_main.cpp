/** @file test_main.cpp Runs all tests. The seed of RapidCheck is fixed and printed. */
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>
#include <glog/logging.h>
#include <iostream>

int main(int argc, char** argv)
{
    constexpr const char* Seed = "seed=20261204 max_success=200";
    FLAGS_minloglevel = google::GLOG_ERROR;
    setenv("RC_PARAMS", Seed, 1);
    std::cout << "RapidCheck: " << Seed << std::endl;
    return Catch::Session().run(argc, argv);
}
