// Entry point of each CppUTest program. Leak detection of CppUTest is off, since it replaces
// operator new and does not know the allocations that libraries keep until exit.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
