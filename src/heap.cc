#include "heap.h"

#include <malloc.h>

namespace endivecleat {
namespace {

constexpr int kMappedBlockBytes = 64 << 10;  // texts, compression tables and large bodies
constexpr int kUnusedTopBytes = 256 << 10;   // returning less costs more calls than it saves

}  // namespace

void LimitHeapGrowth() {
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kUnusedTopBytes);
  mallopt(M_ARENA_MAX, 1);  // the log's writer is the only other thread
}

void ReturnUnusedHeap() { malloc_trim(kUnusedTopBytes); }

}  // namespace endivecleat
