// Entry point shared by all test programs: runs every registered suite, or those of the registry
// that is named as argument, and prints a closing line.

#include <iostream>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

int main(int argc, char **argv)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    CppUnit::TestFactoryRegistry &registry = argc > 1
        ? CppUnit::TestFactoryRegistry::getRegistry(argv[1])
        : CppUnit::TestFactoryRegistry::getRegistry();
    runner.addTest(registry.makeTest());
    runner.run(result);
    CppUnit::TextOutputter(&collector, std::cout).write();
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
