package org.elderhitch.failuredetection

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** What is known of a machine that says nothing, and of its zone. */
public data class SuspectedMachine(
    /** It may run something of an earlier term, and has said nothing in this one. */
    val unheard: Boolean,
    /** It has reported that it obeys this term: nothing of earlier ones is unclear about it. */
    val settled: Boolean,
    /** The cloud's list of this term doesn't name it. */
    val unlisted: Boolean,
    /** When it first took no connection, twice in a row, since its last word; null: it took one, or was not tried. */
    val unreachableSince: MonotonicInstant?,
    /** It took a connection, or was tried in vain: it has been asked at its own address since its last word. */
    val asked: Boolean,
    /** When any machine of its zone was last heard; null: none was in this term. */
    val zoneHeard: MonotonicInstant?,
    /** Most of its zone, or all of it that should have reported lately, is silent. */
    val zoneDoubtful: Boolean,
    val zoneCut: Boolean,
    /** A zone with a controller in it, of which not one machine has been heard in this term. */
    val zoneMissing: Boolean,
    /** It answers questions at its own address, while its reports don't come: its lease runs out. */
    val mute: Boolean = false,
)

/**
 * How a silent machine stands, and so for how long its silence must last before it is returned. Rows of the table in
 * `docs/design/recovery.md`. [proven]: it is
 * known to be dead or gone; else there is nothing but its silence ([TerminationRateLimiter]).
 */
public enum class SuspicionRule(public val proven: Boolean) {
    /** Mostly long gone: to return it costs nothing then, and is proof at once. */
    UNLISTED(true),

    /** It takes no connection, and another of its zone was heard after that: it is dead, and no cut explains it. */
    DEAD(true),

    /** A controller there keeps the machines running: their return would end half of all services. */
    ZONE_MISSING(false),
    ZONE_CUT(false),

    /** A cut zone that a takeover waits for, with no other proof as early. */
    ZONE_CUT_WAITED_FOR(false),

    /** It runs on until its lease is over, and from then on nothing: to return it sooner would end that for nothing. */
    MUTE(false),
    SILENT(false),
}

/** The spans that judgements of silence rest on. */
public data class DetectionTimeouts(
    /** By when a report has come. */
    val report: Duration,
    /** A report's time, an answer's, and two tries at other nodes. */
    val silent: Duration,

    /** A lease, counted on this node's clock. */
    val mute: Duration,
    val unlisted: Duration,
    /** A worker that was not asked may wait for two other nodes first. */
    val unaskedMargin: Duration,
    val unheardMargin: Duration,
    /** After that a zone is given up: new machines would long be up elsewhere. */
    val cut: Duration,
)

/** Reconciles the silence of machines with what else is known of them and their zone. Pure. */
public class SuspicionRules(private val times: DetectionTimeouts) {
    /** Nothing is returned sooner than that. */
    public val least: Duration = minOf(times.report, times.unlisted)

    /**
     * [takeoverOpen]: all work of earlier terms waits for the last machine; [endsSoon]: but within one lease's time,
     * whatever happens.
     */
    public fun row(machine: SuspectedMachine, takeoverOpen: Boolean, endsSoon: Boolean): SuspicionRule = when {
        machine.unheard && machine.unlisted -> SuspicionRule.UNLISTED

        machine.unreachableSince != null &&
            !machine.zoneDoubtful &&
            (takeoverOpen || heardSince(machine, machine.unreachableSince)) -> SuspicionRule.DEAD

        machine.zoneMissing -> SuspicionRule.ZONE_MISSING

        !machine.zoneCut -> if (machine.mute) SuspicionRule.MUTE else SuspicionRule.SILENT

        !machine.settled && takeoverOpen && !endsSoon -> SuspicionRule.ZONE_CUT_WAITED_FOR

        else -> SuspicionRule.ZONE_CUT
    }

    /**
     * In a cut's first seconds those whose reports are due first can't be told from dead ones, unless another of the
     * zone is heard after them.
     */
    private fun heardSince(machine: SuspectedMachine, since: MonotonicInstant): Boolean = machine.zoneHeard.let {
        it != null &&
            it > since
    }

    /** How long the silence of such a machine lasts before it is returned. */
    public fun patience(machine: SuspectedMachine, takeoverOpen: Boolean, endsSoon: Boolean): Duration {
        val base = when (row(machine, takeoverOpen, endsSoon)) {
            SuspicionRule.UNLISTED -> return times.unlisted
            SuspicionRule.MUTE -> return times.mute
            SuspicionRule.DEAD -> if (takeoverOpen) minOf(times.report, times.unlisted) else times.report
            SuspicionRule.ZONE_MISSING, SuspicionRule.ZONE_CUT -> times.cut
            SuspicionRule.ZONE_CUT_WAITED_FOR, SuspicionRule.SILENT -> times.silent
        }
        return base + when {
            machine.unheard -> if (machine.unreachableSince != null) Duration.ZERO else times.unheardMargin
            machine.asked -> Duration.ZERO
            else -> times.unaskedMargin
        }
    }
}
