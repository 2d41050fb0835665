#!/bin/sh
# Builds the stand-ins of the second review, cases 6 to 10, into target/review-2. Needs g++ and the headers of libboost1.81-dev only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/*.cpp -o target/review-2/cases
