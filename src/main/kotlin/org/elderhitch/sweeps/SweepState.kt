package org.elderhitch.sweeps

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobAccount
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision
import org.elderhitch.time.WallTime

/** How a point has ended, which never changes again. Where it is null, the point is open. */
public enum class PointEnd { DONE, WITHDRAWN, SKIPPED }

/**
 * The immutable record that makes a sweep accepted. It is written after all parts, and the first write under a name
 * decides which sweep has that name.
 */
public class Manifest(
    public val points: Int,
    public val parts: Int,
    /** The checksum of the packed description. */
    public val sum: String,
    public val team: String,
    public val jobClass: String,
    public val at: WallTime,
    /** Malformed points, which never become jobs: by block, each in the form that [CompletedTasks] packs. */
    public val skipped: Map<Int, String>,
) {
    public fun encode(): Map<String, Any?> = linkedMapOf(
        "needs" to "sweeps",
        "points" to points,
        "parts" to parts,
        "sum" to sum,
        "team" to team,
        "class" to jobClass,
        "at" to at.ms,
        "skip" to skipped.mapKeys { it.key.toString() }.takeIf { it.isNotEmpty() },
    ).filterValues { it != null }

    public companion object {
        /** Throws [MalformedJson]. */
        public fun decode(from: JsonObject): Manifest {
            val points = from.count("points")
            val parts = from.count("parts")
            if (points !in 1..Points.MAX || parts !in 1..Parts.MAX) throw MalformedJson("points, parts: out of range")
            val skip = from.objectOrNull("skip")
            return Manifest(
                points.toInt(),
                parts.toInt(),
                from.string("sum"),
                from.string("team"),
                from.string("class"),
                WallTime(from.long("at")),
                skip?.names.orEmpty().associate {
                    (it.toIntOrNull() ?: throw MalformedJson("skip: no block")) to
                        (skip?.string(it)).orEmpty()
                },
            )
        }
    }
}

/**
 * One block of a sweep's points as the state service stores it: which are done, which are withdrawn, and the work of
 * those that are done. Immutable.
 */
public class Block internal constructor(
    public val number: Int,
    private val done: CompletedTasks,
    private val cancelled: CompletedTasks,
    public val work: Work,
    public val version: Revision,
) {
    public val doneCount: Int get() = done.count
    public val cancelledCount: Int get() = cancelled.count

    /** [at]: the point's index within the block. */
    public fun endOf(at: Int): PointEnd? = if (at in done) {
        PointEnd.DONE
    } else if (at in cancelled) {
        PointEnd.WITHDRAWN
    } else {
        null
    }

    /**
     * This block with those of [points] done that are open. The first write to replace this version decides how the
     * points end.
     */
    public fun withDone(points: Map<Int, JobAccount?>): Block {
        val newlyEnded = points.filterKeys { endOf(it) == null }
        if (newlyEnded.isEmpty()) return this
        return Block(number, with(done, newlyEnded.keys), cancelled, work.with(newlyEnded.values), version)
    }

    /** This block with those of [points] withdrawn that are open. */
    public fun withCancelled(points: Collection<Int>): Block {
        val newlyEnded = points.filter { endOf(it) == null }
        return if (newlyEnded.isEmpty()) this else Block(number, done, with(cancelled, newlyEnded), work, version)
    }

    /** This block as stored under the version [at]. */
    internal fun withVersion(at: Revision): Block = Block(number, done, cancelled, work, at)

    private fun with(set: CompletedTasks, points: Collection<Int>): CompletedTasks = CompletedTasks(set.tasks).also {
        it.addAll(set)
    }.also { copy -> points.forEach(copy::add) }

    public fun encode(): Map<String, Any?> = linkedMapOf(
        "d" to done.pack(0),
        "w" to cancelled.pack(0),
        "work" to work.encode(),
    )

    public companion object {
        public const val SIZE: Int = CompletedTasks.BLOCK_SIZE

        public fun empty(number: Int, points: Int): Block = sizeOf(number, points).let {
            Block(number, CompletedTasks(it), CompletedTasks(it), Work.NONE, Revision.ABSENT)
        }

        private fun sizeOf(number: Int, points: Int): Int = minOf(SIZE, points - number * SIZE)

        /** Throws [MalformedJson] for a value that [encode] did not produce. */
        public fun decode(number: Int, points: Int, value: JsonObject, version: Revision): Block {
            val empty = empty(number, points)
            if (!empty.done.unpack(0, value.string("d")) || !empty.cancelled.unpack(0, value.string("w"))) {
                throw MalformedJson("a block's points are none of its")
            }
            return Block(number, empty.done, empty.cancelled, Work.decode(value.requireObject("work")), version)
        }
    }
}

/** The states of one sweep's points, by the latest known version of each block. Takes a few bits per point. */
public class SweepState(public val id: SweepId, public val manifest: Manifest, public val version: Revision) {
    public val points: Int get() = manifest.points
    private val blocks = Array((points + Block.SIZE - 1) / Block.SIZE) { Block.empty(it, points) }
    private val skipped = CompletedTasks(points).also { all ->
        manifest.skipped.forEach { (block, text) ->
            if (!all.unpack(block, text)) throw MalformedJson("skip: block $block is none of ours")
        }
    }
    public val blockCount: Int get() = blocks.size

    public fun block(number: Int): Block = blocks[number]

    /** Replaces a block by a newer version; false if the known version is as new. */
    public fun update(block: Block): Boolean {
        if (block.version <= blocks[block.number].version) return false
        blocks[block.number] = block
        return true
    }

    public fun endOf(point: Int): PointEnd? = if (point in skipped) {
        PointEnd.SKIPPED
    } else {
        blocks[point / Block.SIZE].endOf(point % Block.SIZE)
    }

    public val done: Int get() = blocks.sumOf { it.doneCount }
    public val cancelled: Int get() = blocks.sumOf { it.cancelledCount }
    public val skippedCount: Int get() = skipped.count
    public val open: Int get() = points - done - cancelled - skippedCount
    public val work: Work get() = blocks.fold(Work.NONE) { sum, block -> sum + block.work }

    /** The open points in order, starting at [from]. */
    public fun openFrom(from: Int): Sequence<Int> = (from until points).asSequence().filter { endOf(it) == null }
}

/**
 * Selects which points of a sweep enter the leader's job table: in order, and no more than the sweep may have there at
 * a time. All other points cost only bits. A table of ten thousand jobs would make every scheduling cycle longer, and
 * machines would be provisioned for all of them.
 */
public object PointSelector {
    /**
     * The points to add to [admitted], for a sweep that may have [maxPoints] points there. [next]: the point to start
     * from; all before it are in the table or have ended.
     */
    public fun next(state: SweepState, admitted: Set<Int>, maxPoints: Int, next: Int): List<Int> {
        val room = maxPoints - admitted.size
        return if (room <= 0) emptyList() else state.openFrom(next).filter { it !in admitted }.take(room).toList()
    }
}
