package org.elderhitch.lab

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.elderhitch.json.Json
import java.io.File

/** An experiment's figures, and the first invariant that did not hold; null: all held. */
internal class LabResult(val figures: Map<String, Any?>, val broken: String?)

/** Runs a direction's experiment against the stand-ins. Progress goes to standard error, the figures to standard output. */
internal class LabCommand : CoreCliktCommand(name = "lab") {
    private val name by argument(help = "which experiment").choice("drmaa")
    private val seed by option("--seed").long().default(1)
    private val size by option("--size", help = "how many jobs").int().restrictTo(1..1_000_000).default(DEFAULT_SIZE)
    private val out by option("--out", help = "a file for the figures too")

    override fun help(context: Context): String = "Run an experiment against the stand-ins in virtual time; exit code 1 if an invariant broke"

    override fun run() {
        val began = System.nanoTime()
        val result = when (name) {
            "drmaa" -> DrmaaLab(seed, size, ::progress).run()
            else -> error("no experiment $name")
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

    private fun progress(line: String) = System.err.println("lab $name: $line")

    private companion object {
        const val DEFAULT_SIZE = 2000
        const val NANOS = 1_000_000
    }
}
