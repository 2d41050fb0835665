/** @file cases.h The scripted cases. Each returns an exit status of world.h. */
#pragma once

#include "world.h"

namespace lhub::review {

asio::awaitable<int> playLateRequests(world& world);
asio::awaitable<int> playForeignEntry(world& world);
asio::awaitable<int> playSmuggled(world& world);
asio::awaitable<int> playBehindBrokenAnswer(world& world);

asio::awaitable<int> probePipelinedLeave(world& world);
asio::awaitable<int> probeChunkedBody(world& world);

} // namespace lhub::review
