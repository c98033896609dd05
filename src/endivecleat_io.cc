#include "endivecleat_io.h"
