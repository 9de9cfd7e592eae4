// The entry point of every test program.
//
// FLAMINGOHOLLOW_KNOWN_RED holds the names of the test cases to pass over, as
// a comma-separated list; tools/test fills it from KNOWN-RED.txt.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char** argv) {
  doctest::Context context(argc, argv);
  if (const char* known_red = std::getenv("FLAMINGOHOLLOW_KNOWN_RED")) {
    context.addFilter("test-case-exclude", known_red);
  }
  return context.run();
}
