// Stacks of coroutines. Below each lies a guard that nobody may touch: a coroutine that needs more
// than its stack ends the process there, instead of writing into what lies beside. Stacks of
// coroutines that ended are kept for the next ones, which then take no system call.

#pragma once

#include <cstddef>

#include <boost/context/stack_context.hpp>

namespace ramphinge {

// A stack allocator for Boost.Context. Any thread may allocate and release; a stack may be released
// by another thread than the one that it was allocated on.
class GuardedStackAllocator
{
public:
    // `stackBytes` of a build without sanitizers.
    explicit GuardedStackAllocator(std::size_t stackBytes);

    // A stack takes two mappings; where the process may have no more (vm.max_map_count), it has no
    // guard. Throws std::bad_alloc if there is no memory.
    boost::context::stack_context allocate();
    void deallocate(boost::context::stack_context &stack) noexcept;

private:
    std::size_t m_stackBytes;
};

} // namespace ramphinge
