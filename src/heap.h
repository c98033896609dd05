// Settings of glibc's malloc for long-lived processes whose memory use has short peaks, such as the
// compilation of a configuration. Small instances are sized by their peak memory use, so heap
// fragmentation from one peak must not raise the next.
#ifndef ENDIVECLEAT_HEAP_H_
#define ENDIVECLEAT_HEAP_H_

namespace endivecleat {

/// Makes malloc use mmap for large blocks, so that freeing them returns their memory to the
/// operating system. Call once at process start.
void ConfigureMalloc();

/// Returns free heap pages to the operating system. Takes well under a millisecond.
void TrimHeap();

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HEAP_H_
