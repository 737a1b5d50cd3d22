package org.elderhitch.sweeps

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobAccount
import org.elderhitch.json.Json
import org.elderhitch.settings.TeamName
import org.elderhitch.store.Revision
import org.elderhitch.time.WallTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SweepStateTest {
    private fun account(random: Random) = JobAccount(
        TeamName("team"), "score", 1 + random.nextLong(3), random.nextLong(2), random.nextInt(1000) / 10.0,
        random.nextInt(50) / 10.0, null, WallTime(0), random.nextInt(5) == 0,
    )

    private fun manifest(points: Int, skipped: CompletedTasks) = Manifest(
        points,
        1,
        "00",
        "team",
        "score",
        WallTime(0),
        (0..(points - 1) / Block.SIZE).associateWith {
            skipped.pack(it)
        }.filterValues { it.isNotEmpty() },
    )

    /**
     * Compares with a plain map over random completions, withdrawals, lost races, blocks that are stored and read back,
     * and nodes that lag behind. An ended point must never change, and the sums must be those of the points.
     */
    @Test
    fun `sweep states agree with a plain map under random operations`() {
        for (seed in 1..60) {
            val random = Random(seed)
            val points = random.nextInt(1, 10_000)
            val skipped = CompletedTasks(points).also { all ->
                repeat(random.nextInt(20)) { all.add(random.nextInt(points)) }
            }
            val read = Manifest.decode(Json.parseObject(Json.bytes(manifest(points, skipped).encode())))
            val state = SweepState(SweepId("test"), read, Revision(1))
            val laggingState = SweepState(SweepId("test"), read, Revision(1))
            val model = HashMap<Int, PointEnd>()
            (0 until points).filter { it in skipped }.forEach { model[it] = PointEnd.SKIPPED }
            var sum = 0.0
            var attempts = 0L
            var lowerBounds = 0L
            var revision = 1L
            repeat(60) {
                val number = random.nextInt(state.blockCount)
                val first = number * Block.SIZE
                val chosenPoints = List(random.nextInt(1, 200)) {
                    first + random.nextInt(minOf(Block.SIZE, points - first))
                }.filter {
                    it !in
                        skipped
                }.distinct()
                val before = state.block(number)
                val after = if (random.nextBoolean()) {
                    val accounts = chosenPoints.associateWith { account(random) }
                    for ((point, account) in accounts) {
                        if (model.putIfAbsent(point, PointEnd.DONE) == null) {
                            sum += account.usefulSeconds
                            attempts += account.attempts
                            if (account.isLowerBound) lowerBounds++
                        }
                    }
                    before.withDone(accounts.mapKeys { it.key - first })
                } else {
                    chosenPoints.forEach { model.putIfAbsent(it, PointEnd.WITHDRAWN) }
                    before.withCancelled(chosenPoints.map { it - first })
                }
                if (after === before) return@repeat
                val value = Json.bytes(after.encode())
                assertTrue(value.size < 8000, "seed $seed: a block of ${value.size} bytes")
                val stored = Block.decode(number, points, Json.parseObject(value), Revision(++revision))
                assertTrue(state.update(stored))
                // An older version changes nothing.
                assertTrue(!state.update(before))
                if (random.nextInt(3) == 0) laggingState.update(stored)
            }
            for (point in 0 until points) assertEquals(model[point], state.endOf(point), "seed $seed point $point")
            assertEquals(points - model.size, state.open)
            assertEquals(model.values.count { it == PointEnd.DONE }, state.done)
            assertEquals((0 until points).filter { it !in model }, state.openFrom(0).toList())
            assertEquals(sum, state.work.usefulS, 0.06 * 60)
            assertEquals(attempts, state.work.attempts)
            assertEquals(lowerBounds, state.work.least)
            // A node that lags behind knows fewer ends, but no different ones.
            for (point in 0 until points) laggingState.endOf(point)?.let { assertEquals(it, state.endOf(point)) }
        }
    }

    @Test
    fun `percentiles over several blocks are accurate to one hundredth`() {
        val random = Random(5)
        val durations = List(3000) { random.nextInt(1, 5000) / 10.0 }
        val works = durations.map { JobAccount(TeamName("t"), "c", 1, 0, it, 0.0, null, WallTime(0), false) }
        val parts = works.chunked(700).map { part ->
            Work.decode(Json.parseObject(Json.bytes(Work.NONE.with(part).encode())))
        }
        val all = parts.fold(Work.NONE, Work::plus)
        assertEquals(3000, all.completed)
        assertEquals(durations.sum(), all.usefulS, 0.5)
        for (share in listOf(0.5, 0.9, 0.99)) {
            val exact = durations.sorted()[(share * 3000).toInt() - 1]
            assertEquals(exact, all.percentile(share) ?: 0.0, exact * 0.011 + 0.1)
        }
    }

    /** A point that is not running should take less than 64 bytes; its state takes only bits of that. */
    @Test
    fun `blocks of a hundred thousand points take a few bits per point`() {
        val state = SweepState(SweepId("large"), manifest(100_000, CompletedTasks(100_000)), Revision(1))
        assertEquals(25, state.blockCount)
        val ended = (0 until 25).map { n ->
            state.block(n).withDone(
                (
                    0 until minOf(Block.SIZE, 100_000 - n * Block.SIZE) step
                        2
                    ).associateWith { null },
            ).withVersion(Revision(2))
        }
        ended.forEach { state.update(it) }
        assertEquals(50_000, state.done)
        assertTrue(ended.all { Json.bytes(it.encode()).size < 2_000 })
    }

    @Test
    fun `points are selected in order, and shares of the table are max-min fair`() {
        val state = SweepState(SweepId("test"), manifest(1000, CompletedTasks(1000)), Revision(1))
        assertEquals((0..9).toList(), PointSelector.next(state, emptySet(), 10, 0))
        assertEquals(listOf(10, 11), PointSelector.next(state, (0..7).toSet(), 10, 10))
        assertEquals(emptyList(), PointSelector.next(state, (0..9).toSet(), 10, 10))
        state.update(state.block(0).withCancelled(listOf(0, 1, 2, 5)).withVersion(Revision(2)))
        assertEquals(listOf(3, 4, 6), PointSelector.next(state, emptySet(), 3, 0))
        val (a, b, c) = listOf("aaaa", "bbbb", "cccc").map(::SweepId)
        assertEquals(mapOf(a to 10, b to 45, c to 45), FairShares.of(mapOf(a to 10, b to 500, c to 80), 100))
        assertEquals(mapOf(a to 10, b to 20), FairShares.of(mapOf(a to 10, b to 20), 100))
        for (seed in 1..100) {
            val random = Random(seed)
            val wanted = List(random.nextInt(1, 9)) { SweepId("sweep$it") to random.nextInt(1, 300) }.toMap()
            val budget = random.nextInt(1, 600)
            val shares = FairShares.of(wanted, budget)
            assertTrue(shares.values.sum() <= budget && shares.all { it.value <= wanted.getValue(it.key) })
            assertTrue(
                wanted.values.sum() > budget || shares == wanted,
                "seed $seed: a share is too small although the budget suffices",
            )
        }
    }
}
