#pragma once
#include <boost/asio.hpp>
#include "pch_std.h"
