// Tests of the stacks that coroutines run on: each has a guard below it, and the next coroutine
// takes the stack of one that ended.
//
// Users saw a daemon end by a segmentation fault of which nothing told the place. Coroutines had
// stacks of 64 KB from the heap with nothing between them: one that needs more writes into whatever
// lies below, and the process ends later, elsewhere. A coroutine that went 4 KB too deep beside
// eight that waited ran to its end; the process ended when the heap was tidied, in another
// coroutine's release.

#include <cstdint>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "ramphinge/net/io.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

// Of the process's memory map: from `begin` up to `end`.
struct Mapping
{
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
    std::string access; // As the kernel writes it: "rw-p".
};

std::vector<Mapping> mappings()
{
    std::vector<Mapping> found;
    std::ifstream map("/proc/self/maps");
    std::string line;
    while (std::getline(map, line)) {
        std::istringstream words(line);
        Mapping mapping;
        char dash = 0;
        words >> std::hex >> mapping.begin >> dash >> mapping.end >> mapping.access;
        found.push_back(mapping);
    }
    return found;
}

// Index of the mapping that holds `address`.
std::size_t mappingOf(std::uintptr_t address, const std::vector<Mapping> &all)
{
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (address >= all[i].begin && address < all[i].end)
            return i;
    }
    CPPUNIT_FAIL("the address is not mapped");
    return 0;
}

// An address on the stack of whoever calls.
std::uintptr_t placeOnStack()
{
    return reinterpret_cast<std::uintptr_t>(__builtin_frame_address(0));
}

// Runs a coroutine with a stack of `bytes` to its end; an address on its stack.
std::uintptr_t runOne(IoContext &io, std::size_t bytes)
{
    std::uintptr_t place = 0;
    spawnCoroutine(
        io, [&place](Yield) { place = placeOnStack(); }, bytes);
    io.restart();
    io.run();
    return place;
}

constexpr std::size_t largeBytes = 256 * 1024;
constexpr Duration longWait = std::chrono::seconds(10);

class GuardedStackTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GuardedStackTest);
    CPPUNIT_TEST(belowEachStackNothingCanBeWritten);
    CPPUNIT_TEST(aStackHasTheSizeThatWasAskedFor);
    CPPUNIT_TEST(aNewCoroutineTakesTheStackOfOneThatEnded);
    CPPUNIT_TEST(aStackIsTakenAgainOnlyForItsOwnSize);
    CPPUNIT_TEST(mostStacksOfACrowdAreGivenBack);
    CPPUNIT_TEST_SUITE_END();

    void belowEachStackNothingCanBeWritten()
    {
        IoContext io(1);
        Signal done(io);
        std::vector<std::uintptr_t> places;
        for (int i = 0; i < 20; ++i) {
            spawnCoroutine(io, [&](Yield yield) {
                places.push_back(placeOnStack());
                done.wait(longWait, yield);
            });
        }
        std::vector<Mapping> all;
        spawnCoroutine(io, [&](Yield) {
            all = mappings();
            done.notify();
        });
        io.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 20 }, places.size());
        for (const std::uintptr_t place : places) {
            const std::size_t stack = mappingOf(place, all);
            CPPUNIT_ASSERT_EQUAL(std::string("rw-p"), all[stack].access);
            CPPUNIT_ASSERT(stack > 0);
            CPPUNIT_ASSERT_EQUAL(all[stack - 1].end, all[stack].begin);
            CPPUNIT_ASSERT_EQUAL(std::string("---p"), all[stack - 1].access);
        }
    }

    void aStackHasTheSizeThatWasAskedFor()
    {
        for (const std::size_t bytes :
             { coroutineStackBytes, largeBytes, coroutineStackBytes - 1 }) {
            IoContext io(1);
            std::size_t below = 0;
            spawnCoroutine(
                io,
                [&below](Yield) {
                    const std::vector<Mapping> all = mappings();
                    const std::uintptr_t place = placeOnStack();
                    below = place - all[mappingOf(place, all)].begin;
                },
                bytes);
            io.run();
            // What lies above `place` is the coroutine's own record and first calls.
            constexpr std::size_t above = 4096;
            CPPUNIT_ASSERT(below + above >= bytes);
        }
    }

    // In a steady state no coroutine maps memory.
    void aNewCoroutineTakesTheStackOfOneThatEnded()
    {
        constexpr int manyRuns = 300; // More than are kept, so that each that is kept was used.
        IoContext io(1);
        std::set<std::uintptr_t> places;
        for (int i = 0; i < manyRuns; ++i)
            places.insert(runOne(io, coroutineStackBytes));
        const std::size_t before = mappings().size();
        for (int i = 0; i < manyRuns; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), places.count(runOne(io, coroutineStackBytes)));
        CPPUNIT_ASSERT_EQUAL(before, mappings().size());
    }

    void aStackIsTakenAgainOnlyForItsOwnSize()
    {
        IoContext io(1);
        std::set<std::uintptr_t> usual;
        std::set<std::uintptr_t> large;
        for (int i = 0; i < 20; ++i) {
            usual.insert(runOne(io, coroutineStackBytes));
            large.insert(runOne(io, largeBytes));
        }
        for (const std::uintptr_t place : large)
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), usual.count(place));
    }

    // Memory that a peak of requests took must come back: machines have as little as 160 MB.
    void mostStacksOfACrowdAreGivenBack()
    {
        constexpr int crowd = 2000;
        constexpr std::size_t mostLeft = 600; // Mappings; two for each stack that is kept.
        const std::size_t before = mappings().size();
        IoContext io(1);
        Signal done(io);
        int present = 0;
        for (int i = 0; i < crowd; ++i) {
            spawnCoroutine(io, [&](Yield yield) {
                ++present;
                done.wait(longWait, yield);
            });
        }
        spawnCoroutine(io, [&](Yield) { done.notify(); });
        io.run();
        CPPUNIT_ASSERT_EQUAL(crowd, present);
        CPPUNIT_ASSERT(mappings().size() <= before + mostLeft);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuardedStackTest);

} // namespace
