use crate::Fault;
use std::io::Write;
use std::path::Path;
pub fn experiment(_: &mut impl Write, _: &Path, _: &Path, _: Option<usize>, _: bool) -> Result<(), Fault> {
    todo!()
}
pub fn report(_: &mut impl Write, _: &Path) -> Result<(), Fault> {
    todo!()
}
