// Entry point shared by the test programs: runs every registered CppUnit suite, prints one line a test, and
// closes with the counts.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int main() {
    CppUnit::TestResult events;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&collector);
    events.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(events);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << "unit: " << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
