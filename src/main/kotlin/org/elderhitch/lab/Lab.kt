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

/** An experiment's figures, and the first invariant that did not hold; null: all held. */
internal class LabResult(val figures: Map<String, Any?>, val broken: String?)

/**
 * Runs a direction's experiment against the stand-ins. Progress goes to standard error, the figures to standard output.
 */
internal class LabCommand : CoreCliktCommand(name = "lab") {
    private val name by argument(help = "which experiment").choice("drmaa", "storm", "sweep", "coldstart")
    private val seed by option("--seed").long().default(1)
    private val size by option("--size", help = "how many jobs, machines or points").int().restrictTo(1..1_000_000)
    private val out by option("--out", help = "a file for the figures too")
    private val storms by option(
        "--storms",
        help = "storm, coldstart: how many, one seed after the other",
    ).int().restrictTo(1..100_000).default(1)
    private val span by option(
        "--for",
        help = "storm: how many seconds troubles come",
    ).int().restrictTo(1..3600).default(DEFAULT_SPAN)
    private val shrink by option("--shrink", help = "storm: make a failing schedule smaller, and print it").flag()
    private val schedule by option("--schedule", help = "storm: a schedule file to play again")
    private val shape by option("--shape", help = "storm: what machines and users are like").choice(
        Shape.entries.associateBy {
            it.word
        },
    ).default(Shape.ACCELERATORS)
    private val draw by option("--draw", help = "storm: how schedules come from seeds").choice(
        Draw.entries.associateBy {
            it.word
        },
    ).default(Draw.USUAL)
    private val down by option(
        "--down",
        help = "coldstart: for how many seconds all controllers are down",
    ).int().restrictTo(1..600)
    private val outage by option(
        "--outage",
        help = "coldstart: for how many seconds the state service is down around the last start",
    ).int().restrictTo(0..600)
    private val waves by option("--waves", help = "coldstart: how often in a row").int().restrictTo(1..20)
    private val share by option(
        "--share",
        help = "storm: a node's share of a core, for what its work costs; none: it costs nothing",
    ).double().restrictTo(0.01..64.0)

    override fun help(context: Context): String =
        "Run an experiment against the stand-ins in virtual time; exit code 1 if an invariant broke"

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
                    shrink,
                    schedule?.let(::read),
                ),
                ::progress,
            ).run()
        }
        progress("took ${(System.nanoTime() - began) / NANOS} ms")
        val text = Json.text(result.figures)
        out?.let { File(it).writeText(text + "\n") }
        echo(text)
        result.broken?.let {
            progress("broken: $it")
            throw ProgramResult(1)
        }
    }

    private fun read(path: String): Schedule = try {
        Schedule.decode(File(path).readBytes())
    } catch (e: IOException) {
        throw CliktError("$path can't be read: ${e.message}", e, statusCode = USAGE)
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
