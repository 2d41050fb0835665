/** @file json_src.cpp Compiles Boost.JSON once into the library. */
#include <boost/json/src.hpp>
