// Stacks of coroutines: see guarded_stack.h.

#include "ramphinge/net/internal/guarded_stack.h"

#include <mutex>
#include <new>
#include <vector>

#include <sys/mman.h>
#include <unistd.h>

#include "ramphinge/net/io.h"

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#endif

namespace ramphinge {

namespace {

using boost::context::stack_context;

// Larger than any frame that is entered without a touch on the way, so that no call steps over it.
constexpr std::size_t guardBytes = 16 * 1024;
// The address sanitizer makes frames larger: the check of a settings file, 9 KB without it,
// overflowed 64 KB.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t frameGrowth = 4;
#else
constexpr std::size_t frameGrowth = 1;
#endif
constexpr std::size_t usualBytes = coroutineStackBytes * frameGrowth;
// Stacks of ended coroutines that are kept, each with the pages that were touched.
constexpr std::size_t mostKept = 128;

std::size_t roundedToPages(std::size_t bytes)
{
    static const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    return (bytes + page - 1) / page * page;
}

// Of the guard and the stack above it.
std::size_t mappedBytes(std::size_t stackBytes)
{
    return roundedToPages(guardBytes) + roundedToPages(stackBytes);
}

char *lowestByte(const stack_context &stack)
{
    return static_cast<char *>(stack.sp) - stack.size;
}

// False if the system has no memory or no mapping left; a stack takes two. Only what is above the
// guard counts as memory that the process may need.
bool mapStack(std::size_t stackBytes, stack_context &stack)
{
    const std::size_t bytes = mappedBytes(stackBytes);
    void *const begin =
        mmap(nullptr, bytes, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK, -1, 0);
    if (begin == MAP_FAILED)
        return false;
    const std::size_t guard = roundedToPages(guardBytes);
    if (mprotect(static_cast<char *>(begin) + guard, bytes - guard, PROT_READ | PROT_WRITE) != 0) {
        munmap(begin, bytes);
        return false;
    }
    stack.size = bytes;
    stack.sp = static_cast<char *>(begin) + bytes;
    return true;
}

// Without a guard, for a crowd of coroutines that has used up the process's mappings: to end the
// process for that would end all their requests.
stack_context heapStack(std::size_t stackBytes)
{
    stack_context stack;
    stack.size = stackBytes;
    stack.sp = static_cast<char *>(::operator new(stackBytes)) + stackBytes;
    return stack;
}

void unmapStack(const stack_context &stack) noexcept
{
    munmap(lowestByte(stack), stack.size);
}

// Under the address sanitizer, a use of a kept stack by what outlived its coroutine is reported.
void forbidUse(const stack_context &stack)
{
#if defined(__SANITIZE_ADDRESS__)
    ASAN_POISON_MEMORY_REGION(lowestByte(stack), stack.size);
#else
    static_cast<void>(stack);
#endif
}

void permitUse(const stack_context &stack)
{
#if defined(__SANITIZE_ADDRESS__)
    ASAN_UNPOISON_MEMORY_REGION(lowestByte(stack), stack.size);
#else
    static_cast<void>(stack);
#endif
}

// Stacks of the usual size that no coroutine runs on.
class KeptStacks
{
public:
    KeptStacks() { m_stacks.reserve(mostKept); } // So that to keep one can't fail.

    // False if there is none.
    bool take(stack_context &stack)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stacks.empty())
            return false;
#if defined(__SANITIZE_ADDRESS__)
        // The one that has lain longest: the others catch late uses meanwhile.
        stack = m_stacks.front();
        m_stacks.erase(m_stacks.begin());
#else
        // The last one: its pages may be in the processor's cache.
        stack = m_stacks.back();
        m_stacks.pop_back();
#endif
        return true;
    }

    // False if enough are kept.
    bool keep(const stack_context &stack) noexcept
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stacks.size() >= mostKept)
            return false;
        forbidUse(stack);
        m_stacks.push_back(stack);
        return true;
    }

private:
    std::mutex m_mutex; // Blocking clients run event loops on threads of their own.
    std::vector<stack_context> m_stacks;
};

// Never destroyed: coroutines may end after the statics.
KeptStacks &keptStacks()
{
    static auto *const stacks = new KeptStacks;
    return *stacks;
}

} // namespace

GuardedStackAllocator::GuardedStackAllocator(std::size_t stackBytes)
    : m_stackBytes(stackBytes * frameGrowth)
{ }

stack_context GuardedStackAllocator::allocate()
{
    stack_context stack;
    const bool isKept = m_stackBytes == usualBytes && keptStacks().take(stack);
    if (!isKept && !mapStack(m_stackBytes, stack))
        return heapStack(m_stackBytes);
    permitUse(stack);
    return stack;
}

void GuardedStackAllocator::deallocate(stack_context &stack) noexcept
{
    const bool isGuarded = stack.size > m_stackBytes;
    if (!isGuarded)
        ::operator delete(lowestByte(stack));
    else if (m_stackBytes != usualBytes || !keptStacks().keep(stack))
        unmapStack(stack);
}

} // namespace ramphinge
