// Sets the thresholds through mallopt and malloc_trim.
#include "heap.h"

#include <malloc.h>

namespace endivecleat {
namespace {

constexpr int kMappedBlockBytes = 64 << 10;  // covers texts, compression tables and large bodies
constexpr int kUnusedTopBytes = 256 << 10;   // trimming less costs more system calls than it saves

}  // namespace

void LimitHeapGrowth() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kUnusedTopBytes);
  mallopt(M_ARENA_MAX, 1);  // a second arena would only add fragmentation: one thread does all work
}

void ReturnUnusedHeap() { malloc_trim(kUnusedTopBytes); }

}  // namespace endivecleat
