// Holds the main function of every test program, compiled once.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
