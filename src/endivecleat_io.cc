// Compiles the public header on its own, which checks that it includes all that it needs.
#include "endivecleat_io.h"
