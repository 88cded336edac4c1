// The includes that every test program needs; linked with cppunit_main.cpp.

#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
