// Entry point of all CppUTest programs. Leak detection of CppUTest is off: it replaces operator new
// and reports allocations that libraries keep until exit as leaks.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
