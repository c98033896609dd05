// Entry point of the endivecleat binary.
#include "endivecleat_io.h"

int main() { return 0; }
