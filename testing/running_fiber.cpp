// For builds with the address sanitizer: which fiber runs on this thread. Boost.Context tells the
// sanitizer of switches between stacks with its ucontext implementation only, and the installed
// library, which is built for another one, lacks this part of it.

#include <boost/context/fiber.hpp>

#if defined(BOOST_USE_UCONTEXT)

namespace boost::context::detail {

fiber_activation_record *&fiber_activation_record::current() noexcept
{
    static thread_local fiber_activation_record
        ofThread; // For what runs on the thread's own stack.
    static thread_local fiber_activation_record *running = &ofThread;
    return running;
}

} // namespace boost::context::detail

#endif
