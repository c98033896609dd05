// Entry point of the endivecleat binary.
#include "command_line.h"

int main(int argc, char** argv) {
  return endivecleat::RunCommandLine(argc, const_cast<const char**>(argv));
}
