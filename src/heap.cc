// Sets the thresholds through mallopt and malloc_trim.
#include "heap.h"

#include <malloc.h>

namespace endivecleat {
namespace {

constexpr int kMmapThresholdBytes = 64 << 10;   // covers texts, compression tables and large bodies
constexpr int kTrimThresholdBytes = 256 << 10;  // trimming less takes more calls than it saves

}  // namespace

void ConfigureMalloc() {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_ARENA_MAX, 1);  // a second arena would only add fragmentation: one thread does all work
}

void TrimHeap() { malloc_trim(kTrimThresholdBytes); }

}  // namespace endivecleat
