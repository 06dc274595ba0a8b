//! Writes series over time as a table (CSV) and a line chart (SVG).

use std::fs;
use std::path::Path;

use plotters::prelude::*;

use crate::Fault;

pub struct Series {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Writes `name.csv` and `name.svg` into the folder.
pub fn keep(
    dir: &Path,
    name: &str,
    title: &str,
    across: &str,
    up: &str,
    series: &[Series],
) -> Result<(), Fault> {
    fs::create_dir_all(dir)
        .map_err(|why| Fault::Io("cannot create the folder for tables and charts", why))?;
    let mut table = csv::Writer::from_path(dir.join(format!("{name}.csv")))?;
    table.write_record(["series", across, up])?;
    for Series { name, points } in series {
        for (x, y) in points {
            table.write_record([name.as_str(), &format!("{x:.3}"), &format!("{y:.5}")])?;
        }
    }
    table.flush().map_err(|why| Fault::Io("cannot write the table", why))?;
    let path = dir.join(format!("{name}.svg"));
    draw(&path, title, across, up, series).map_err(|why| Fault::Chart(why.to_string()))
}

fn draw(
    path: &Path,
    title: &str,
    across: &str,
    up: &str,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || series.iter().flat_map(|series| &series.points);
    let far = points().map(|point| point.0).fold(1e-9, f64::max);
    let high = 1.08 * points().map(|point| point.1).fold(1e-9, f64::max);
    let area = SVGBackend::new(path, (900, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..far, 0.0..high)?;
    chart.configure_mesh().x_desc(across).y_desc(up).light_line_style(WHITE).draw()?;
    for (at, Series { name, points }) in series.iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        chart
            .draw_series(line)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
