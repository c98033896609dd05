// Settings of the C library's allocator for a long-lived process whose need for memory has short
// peaks, such as the compilation of a configuration. Memory is paid for at its peak on small
// instances, so that holes in the heap must not add to the next peak.
#ifndef ENDIVECLEAT_HEAP_H_
#define ENDIVECLEAT_HEAP_H_

namespace endivecleat {

/// Called once at the start of a process. Large blocks are mapped and returned when they are freed.
void LimitHeapGrowth();

/// Returns the free pages of the heap to the system; takes well under a millisecond.
void ReturnUnusedHeap();

}  // namespace endivecleat

#endif  // ENDIVECLEAT_HEAP_H_
