package org.elderhitch.lab

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** The figures of an experiment, and the first violated invariant; null: all held. */
internal class LabResult(val figures: Map<String, Any?>, val failedCheck: String?)

/** Runs an experiment against the stand-ins. Progress goes to standard error, the figures to standard output. */
internal class LabCommand : CoreCliktCommand(name = "lab") {
    private val name by argument(help = "name of the experiment").choice("drmaa", "storm", "sweep", "coldstart")
    private val seed by option("--seed").long().default(1)
    private val size by option("--size", help = "number of jobs, machines or points").int().restrictTo(1..1_000_000)
    private val out by option("--out", help = "file to write the figures to as well")
    private val storms by option(
        "--storms",
        help = "storm, coldstart: number of runs, with consecutive seeds",
    ).int().restrictTo(1..100_000).default(1)
    private val span by option(
        "--for",
        help = "storm: period in seconds in which faults begin",
    ).int().restrictTo(1..3600).default(DEFAULT_SPAN)
    private val shrinker by option("--shrink", help = "storm: reduce a failing schedule, and print it").flag()
    private val schedule by option("--schedule", help = "storm: schedule file to replay")
    private val shape by option("--shape", help = "storm: machine types and workload").choice(
        Shape.entries.associateBy {
            it.word
        },
    ).default(Shape.ACCELERATORS)
    private val draw by option("--draw", help = "storm: how schedules are generated from seeds").choice(
        ScheduleMode.entries.associateBy {
            it.word
        },
    ).default(ScheduleMode.USUAL)
    private val down by option(
        "--down",
        help = "coldstart: downtime of all controllers in seconds",
    ).int().restrictTo(1..600)
    private val outage by option(
        "--outage",
        help = "coldstart: outage of the state service around the last start in seconds",
    ).int().restrictTo(0..600)
    private val waves by option(
        "--waves",
        help = "coldstart: number of consecutive cold starts",
    ).int().restrictTo(1..20)
    private val share by option(
        "--share",
        help = "storm: a node's share of a core, for the cost of its work; not given: no cost",
    ).double().restrictTo(0.01..64.0)

    override fun help(context: Context): String =
        "Run an experiment against the stand-ins in virtual time; exit code 1 if an invariant was violated"

    override fun run() {
        val began = System.nanoTime()
        val result = when (name) {
            "drmaa" -> DrmaaLab(seed, size ?: DEFAULT_JOBS, ::progress).run()

            "coldstart" -> ColdStartLab(
                seed,
                size ?: DEFAULT_MACHINES,
                storms,
                ColdStartPlan(down?.seconds, outage?.seconds, waves),
                share ?: DEFAULT_SHARE,
                ::progress,
            ).run()

            "sweep" -> SweepLab(seed, size ?: DEFAULT_POINTS, ::progress).run()

            else -> Storms(
                StormOptions(
                    ScheduleOptions(seed, size ?: DEFAULT_MACHINES, span.seconds, shape, draw),
                    storms,
                    share,
                    shrinker,
                    schedule?.let(::read),
                ),
                ::progress,
            ).run()
        }
        progress("took ${(System.nanoTime() - began) / NANOS} ms")
        val text = Json.text(result.figures)
        out?.let { File(it).writeText(text + "\n") }
        echo(text)
        result.failedCheck?.let {
            progress("violated: $it")
            throw ProgramResult(1)
        }
    }

    private fun read(path: String): Schedule = try {
        Schedule.decode(File(path).readBytes())
    } catch (e: IOException) {
        throw CliktError("$path cannot be read: ${e.message}", e, statusCode = USAGE)
    } catch (e: MalformedJson) {
        throw CliktError("$path: ${e.message}", e, statusCode = USAGE)
    }

    private fun progress(line: String) = System.err.println("lab $name: $line")

    private companion object {
        const val USAGE = 2
        const val DEFAULT_JOBS = 2000
        const val DEFAULT_MACHINES = 100
        const val DEFAULT_POINTS = 10_000
        const val DEFAULT_SPAN = 180
        const val DEFAULT_SHARE = 0.3
        const val NANOS = 1_000_000
    }
}
