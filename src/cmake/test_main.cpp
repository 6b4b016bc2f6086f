// Entry point shared by the test programs: runs every registered CppUnit suite, prints one line a test, and
// closes with the counts. An argument selects one suite
// or test by its name, for example `balsampost::core::key_plan_test`.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int main(int argc, char** argv) {
    CppUnit::TestResult events;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&collector);
    events.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(events, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << "unit: " << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
